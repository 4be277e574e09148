package org.alderyard.common.view;

import java.util.Arrays;
import java.util.HexFormat;

/** An immutable byte array that is compared by its content. */
public final class Bytes {
  private final byte[] content;

  private Bytes(byte[] content) {
    this.content = content;
  }

  /** Returns a copy of the given array. */
  public static Bytes of(byte[] content) {
    return new Bytes(content.clone());
  }

  /** Returns a copy of the content. */
  public byte[] toArray() {
    return content.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Bytes bytes && Arrays.equals(content, bytes.content);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(content);
  }

  @Override
  public String toString() {
    return HexFormat.of().formatHex(content);
  }
}
