package org.alderyard.common.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.id.Addresses;

/** The types of settings. */
public final class SettingTypes {
  private static final Pattern QUANTITY = Pattern.compile("(\\d{1,15})\\s*([A-Za-z]+)");
  private static final Map<String, Long> NANOS_PER_UNIT =
      Map.of(
          "us", 1_000L,
          "ms", 1_000_000L,
          "s", 1_000_000_000L,
          "min", 60_000_000_000L,
          "h", 3_600_000_000_000L);
  private static final Map<String, Long> BYTES_PER_UNIT =
      Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

  private SettingTypes() {}

  /** Returns a type of whole numbers from {@code min} to {@code max}, both inclusive. */
  public static SettingType<Integer> integer(int min, int max) {
    return new SettingType<>(
        "a whole number from " + min + " to " + max,
        text -> wholeNumber(text).filter(n -> n >= min && n <= max).map(Long::intValue));
  }

  private static Optional<Long> wholeNumber(String text) {
    try {
      return Optional.of(Long.parseLong(text));
    } catch (NumberFormatException invalidNumber) {
      return Optional.empty();
    }
  }

  /** Returns a type of decimal numbers from {@code min} to {@code max}, both inclusive. */
  public static SettingType<Double> decimal(double min, double max) {
    return new SettingType<>(
        "a number from " + min + " to " + max,
        text -> decimalNumber(text).filter(n -> n >= min && n <= max));
  }

  private static Optional<Double> decimalNumber(String text) {
    try {
      return Optional.of(Double.parseDouble(text));
    } catch (NumberFormatException invalidNumber) {
      return Optional.empty();
    }
  }

  /** Returns the type of a boolean, written as {@code true} or {@code false}. */
  public static SettingType<Boolean> flag() {
    return new SettingType<>(
        "true or false",
        text ->
            switch (text) {
              case "true" -> Optional.of(true);
              case "false" -> Optional.of(false);
              default -> Optional.empty();
            });
  }

  /** Returns a type of durations with a unit, from {@code min} to {@code max}, both inclusive. */
  public static SettingType<Duration> duration(Duration min, Duration max) {
    return new SettingType<>(
        "a duration with its unit (us, ms, s, min, h) from "
            + formatMillis(min)
            + " to "
            + formatMillis(max),
        text ->
            quantity(text, NANOS_PER_UNIT)
                .map(Duration::ofNanos)
                .filter(d -> d.compareTo(min) >= 0 && d.compareTo(max) <= 0));
  }

  private static String formatMillis(Duration duration) {
    return duration.toMillis() + "ms";
  }

  /** Returns a type of sizes with a unit, from {@code min} to {@code max} bytes, both inclusive. */
  public static SettingType<Long> bytes(long min, long max) {
    return new SettingType<>(
        "a size with its unit (B, KiB, MiB, GiB) from " + min + "B to " + max + "B",
        text -> quantity(text, BYTES_PER_UNIT).filter(n -> n >= min && n <= max));
  }

  private static Optional<Long> quantity(String text, Map<String, Long> units) {
    Matcher matcher = QUANTITY.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    Long factor = units.get(matcher.group(2));
    if (factor == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Math.multiplyExact(Long.parseLong(matcher.group(1)), factor));
    } catch (ArithmeticException tooLarge) {
      return Optional.empty();
    }
  }

  /** Returns the type of an IP address with a port. */
  public static SettingType<InetSocketAddress> address() {
    return new SettingType<>("an IP number with a port, such as 10.0.0.1:7000", Addresses::parse);
  }

  /** Returns the type of a comma-separated list of values of another type. */
  public static <T> SettingType<List<T>> list(SettingType<T> element) {
    return new SettingType<>(
        "a list, separated by commas, of: " + element.accepted(),
        text -> {
          List<T> values = new ArrayList<>();
          for (String part : text.split(",", -1)) {
            Optional<T> value = element.parse(part.trim());
            if (value.isEmpty()) {
              return Optional.empty();
            }
            values.add(value.get());
          }
          return Optional.of(List.copyOf(values));
        });
  }

  /** Returns the type of an enum constant, written in lower case with hyphens. */
  public static <E extends Enum<E>> SettingType<E> word(Class<E> enumType) {
    List<String> names =
        Arrays.stream(enumType.getEnumConstants()).map(SettingTypes::settingText).toList();
    return new SettingType<>(
        "one of " + String.join(", ", names),
        text ->
            Arrays.stream(enumType.getEnumConstants())
                .filter(constant -> settingText(constant).equals(text))
                .findFirst());
  }

  /** Returns the type of a comma-separated set of enum constants. */
  public static <E extends Enum<E>> SettingType<Set<E>> words(Class<E> enumType) {
    SettingType<List<E>> list = list(word(enumType));
    return new SettingType<>(
        list.accepted(),
        text -> list.parse(text).map(values -> Set.copyOf(new LinkedHashSet<>(values))));
  }

  private static String settingText(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the type of a path, which must not be empty. */
  public static SettingType<Path> path() {
    return new SettingType<>(
        "a path", text -> text.isEmpty() ? Optional.empty() : Optional.of(Path.of(text)));
  }

  /** Returns the type of a name that the given constructor validates. */
  public static <T> SettingType<T> name(Function<String, T> constructor) {
    return new SettingType<>(
        "1 to 128 characters of [A-Za-z0-9._:-]",
        text -> {
          try {
            return Optional.of(constructor.apply(text));
          } catch (AlderyardException refused) {
            return Optional.empty();
          }
        });
  }
}
