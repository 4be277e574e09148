package org.alderyard.common.id;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Short key of one incarnation of a server in reports between hosts. Two servers may share it by
 * chance, so that it may influence preferences only.
 */
public final class ServerFingerprint {
  private ServerFingerprint() {}

  /** Returns the fingerprint; it is the same on all hosts and in all versions. */
  public static int of(ServerId server, long incarnation) {
    byte[] text = (server.value() + "/" + incarnation).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash32x86(text);
  }
}
