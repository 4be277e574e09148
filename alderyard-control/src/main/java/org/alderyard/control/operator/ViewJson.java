package org.alderyard.control.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Locale;
import org.alderyard.common.http.Json;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.View;

/** Renders the pools, groups, servers and hosts of a view as JSON for operators. */
final class ViewJson {

  private ViewJson() {}

  static JsonNode pools(View view) {
    ObjectNode body = withVersion(view);
    ArrayNode pools = body.putArray("pools");
    view.pools()
        .values()
        .forEach(
            pool -> {
              ObjectNode node = pools.addObject();
              node.put("name", pool.name().value());
              ArrayNode groups = node.putArray("groups");
              pool.groups().forEach(group -> groups.add(group.value()));
              node.put(
                  "writeAcknowledgement",
                  pool.writeAcknowledgement().name().toLowerCase(Locale.ROOT).replace('_', '-'));
              node.put("maxStalenessMillis", pool.maxStalenessMillis());
              node.put("maxConcurrentStatements", pool.maxConcurrentStatements());
            });
    return body;
  }

  static JsonNode groups(View view) {
    ObjectNode body = withVersion(view);
    ArrayNode groups = body.putArray("groups");
    view.groups()
        .values()
        .forEach(
            group ->
                groups
                    .addObject()
                    .put("id", group.id().value())
                    .put("term", group.term())
                    .put("primary", group.primary().map(ServerId::value).orElse(null))
                    .put("slotsPerServer", group.slotsPerServer())
                    .put("connectionsPerServer", group.connectionsPerServer()));
    return body;
  }

  static JsonNode servers(View view) {
    ObjectNode body = withVersion(view);
    ArrayNode servers = body.putArray("servers");
    view.servers()
        .values()
        .forEach(
            server ->
                servers
                    .addObject()
                    .put("id", server.id().value())
                    .put("incarnation", server.incarnation())
                    .put("group", server.group().value())
                    .put("zone", server.zone().value())
                    .put("address", hostAndPort(server.address()))
                    .put("status", server.status().name().toLowerCase(Locale.ROOT)));
    return body;
  }

  static JsonNode hosts(View view) {
    ObjectNode body = withVersion(view);
    ArrayNode hosts = body.putArray("hosts");
    view.hosts()
        .values()
        .forEach(
            host ->
                hosts
                    .addObject()
                    .put("id", host.id().value())
                    .put("incarnation", host.incarnation())
                    .put("zone", host.zone().value())
                    .put("innerAddress", hostAndPort(host.innerAddress()))
                    .put("callerAddress", hostAndPort(host.callerAddress()))
                    .put("proxy", host.proxy())
                    .put("control", host.control())
                    .put("draining", host.draining()));
    return body;
  }

  private static ObjectNode withVersion(View view) {
    return Json.object().put("viewVersion", view.version().toString());
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
