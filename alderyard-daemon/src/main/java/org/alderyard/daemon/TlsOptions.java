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
 * TLS settings of the HTTP ports.
 *
 * @param context TLS context with the key and certificate; if empty, every port serves plain HTTP
 * @param ports ports that use TLS
 */
public record TlsOptions(Optional<SSLContext> context, Set<TlsPort> ports) {
  private static final String KEYSTORE_TYPE = "PKCS12";
  private static final String CONTEXT_PROTOCOL = "TLS";

  /**
   * Loads the keystore if the settings name a keystore file.
   *
   * @throws SettingsException if the password file is missing or the keystore cannot be loaded
   */
  static TlsOptions load(Settings settings) {
    Set<TlsPort> ports = settings.get(DaemonSpec.TLS_PORTS);
    Optional<Path> file = settings.findPath(DaemonSpec.TLS_KEYSTORE_FILE);
    if (file.isEmpty()) {
      return new TlsOptions(Optional.empty(), ports);
    }
    if (settings.find(DaemonSpec.TLS_PASSWORD_FILE).isEmpty()) {
      throw DaemonSettings.invalid(
          settings,
          DaemonSpec.TLS_PASSWORD_FILE,
          "the key is missing; [tls] keystore-file needs it");
    }
    String password = DaemonSettings.readSecret(settings, DaemonSpec.TLS_PASSWORD_FILE);
    try {
      return new TlsOptions(Optional.of(loadContext(file.get(), password.toCharArray())), ports);
    } catch (IOException | GeneralSecurityException loadFailure) {
      throw DaemonSettings.invalid(
          settings,
          DaemonSpec.TLS_KEYSTORE_FILE,
          "'" + file.get() + "' can't be used as a PKCS#12 keystore: " + loadFailure.getMessage());
    }
  }

  private static SSLContext loadContext(Path file, char[] password)
      throws IOException, GeneralSecurityException {
    KeyStore keyStore = KeyStore.getInstance(KEYSTORE_TYPE);
    try (InputStream in = Files.newInputStream(file)) {
      keyStore.load(in, password);
    }
    KeyManagerFactory keyManagers =
        KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    keyManagers.init(keyStore, password);
    SSLContext context = SSLContext.getInstance(CONTEXT_PROTOCOL);
    context.init(keyManagers.getKeyManagers(), null, null);
    return context;
  }

  /** Returns the TLS context of a port, or empty if the port serves plain HTTP. */
  public Optional<SSLContext> forPort(TlsPort port) {
    return ports.contains(port) ? context : Optional.empty();
  }
}
