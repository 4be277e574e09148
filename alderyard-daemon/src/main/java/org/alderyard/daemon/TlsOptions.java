package org.alderyard.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Optional;
import java.util.Set;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.alderyard.common.settings.Settings;

/**
 * The keys of the HTTP ports.
 *
 * @param context the key and certificate; without them no port speaks TLS
 * @param ports which ports speak TLS
 */
public record TlsOptions(Optional<SSLContext> context, Set<TlsPort> ports) {
  private static final String KEYSTORE_TYPE = "PKCS12";
  private static final String PROTOCOL = "TLS";

  /** Reads the keystore that the settings name, if they name one. */
  static TlsOptions of(Settings settings) {
    Set<TlsPort> ports = settings.get(DaemonSpec.TLS_PORTS);
    Optional<Path> file = settings.findPath(DaemonSpec.TLS_KEYSTORE_FILE);
    if (file.isEmpty()) {
      return new TlsOptions(Optional.empty(), ports);
    }
    if (settings.find(DaemonSpec.TLS_PASSWORD_FILE).isEmpty()) {
      throw DaemonSettings.wrong(
          settings,
          DaemonSpec.TLS_PASSWORD_FILE,
          "the key is missing; [tls] keystore-file needs it");
    }
    String password = DaemonSettings.secret(settings, DaemonSpec.TLS_PASSWORD_FILE);
    try {
      return new TlsOptions(Optional.of(load(file.get(), password.toCharArray())), ports);
    } catch (IOException | GeneralSecurityException unusable) {
      throw DaemonSettings.wrong(
          settings,
          DaemonSpec.TLS_KEYSTORE_FILE,
          "'" + file.get() + "' can't be used as a PKCS#12 keystore: " + unusable.getMessage());
    }
  }

  private static SSLContext load(Path file, char[] password)
      throws IOException, GeneralSecurityException {
    KeyStore store = KeyStore.getInstance(KEYSTORE_TYPE);
    try (InputStream in = Files.newInputStream(file)) {
      store.load(in, password);
    }
    KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    keys.init(store, password);
    SSLContext context = SSLContext.getInstance(PROTOCOL);
    context.init(keys.getKeyManagers(), null, null);
    return context;
  }

  /** Returns the keys of a port, if it speaks TLS. */
  public Optional<SSLContext> forPort(TlsPort port) {
    return ports.contains(port) ? context : Optional.empty();
  }
}
