package org.alderyard.cli.local;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A configuration that an operator sends.
 *
 * @param version its version number
 * @param databases the databases that sessions may open under it
 * @param added the one of them that no earlier change contains
 * @param paddingRoutes the number of further routes, which make it slow to parse and to apply
 */
record OperatorChange(int version, Set<String> databases, String added, int paddingRoutes) {

  /** Returns a change whose databases are the given ones and one more. */
  static OperatorChange of(
      int version, Collection<String> databases, String added, int paddingRoutes) {
    Set<String> all = new TreeSet<>(databases);
    all.add(added);
    return new OperatorChange(version, Set.copyOf(all), added, paddingRoutes);
  }

  /** Returns the body of the request; equal changes have equal bodies. */
  String json() {
    String routes =
        IntStream.range(0, databases.size() + paddingRoutes)
            .mapToObj(this::route)
            .collect(Collectors.joining(","));
    return ("{\"version\":%d,\"routes\":[%s],"
            + "\"services\":[{\"name\":\"g1\",\"max_connections\":4}],\"limits\":{}}")
        .formatted(version, routes);
  }

  private String route(int number) {
    boolean padding = number >= databases.size();
    String database =
        padding
            ? "padding" + (number - databases.size())
            : new TreeSet<>(databases).stream().skip(number).findFirst().orElseThrow();
    return ("{\"name\":\"r%d\",\"host\":\"%s\",\"path_prefix\":\"/\",\"route_type\":\"primary\","
            + "\"timeout_ms\":400,\"service\":\"g1\"}")
        .formatted(number, database);
  }
}
