package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import org.alderyard.backend.http.BackendJson;
import org.alderyard.common.view.TermStart;

/** Stores the log of a stand-in server as JSON lines, so that the log survives a killed process. */
final class LogFile {
  private final Optional<Path> path;
  private BufferedWriter writer;
  private long term;

  LogFile(Optional<Path> path) {
    this.path = path;
  }

  void load(List<LogEntry> log, List<TermStart> starts) {
    if (path.isEmpty()) {
      return;
    }
    try {
      if (Files.exists(path.get())) {
        for (String line : Files.readAllLines(path.get())) {
          read(BackendJson.parse(line.getBytes(StandardCharsets.UTF_8)), log, starts);
        }
      }
      writer =
          Files.newBufferedWriter(path.get(), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private void read(JsonNode node, List<LogEntry> log, List<TermStart> starts) {
    if (node.has("fencedAt")) {
      term = node.path("fencedAt").asLong();
    } else if (node.has("startIndex")) {
      starts.add(new TermStart(node.path("term").asLong(), node.path("startIndex").asLong()));
    } else {
      log.add(LogEntry.fromJson(node));
    }
  }

  long term() {
    return term;
  }

  void term(long newTerm) {
    term = newTerm;
    write(BackendJson.object().put("fencedAt", newTerm));
  }

  void append(LogEntry entry) {
    write(entry.toJson());
  }

  void append(TermStart start) {
    write(BackendJson.object().put("term", start.term()).put("startIndex", start.startIndex()));
  }

  void rewrite(List<LogEntry> log, List<TermStart> starts) {
    if (path.isEmpty()) {
      return;
    }
    try {
      writer.close();
      writer = Files.newBufferedWriter(path.get(), StandardOpenOption.TRUNCATE_EXISTING);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    term(term);
    starts.forEach(this::append);
    log.forEach(this::append);
  }

  private void write(JsonNode node) {
    if (path.isEmpty()) {
      return;
    }
    try {
      writer.write(new String(BackendJson.serialize(node), StandardCharsets.UTF_8));
      writer.newLine();
      writer.flush();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
