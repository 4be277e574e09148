package org.alderyard.common.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.settings.PlainIni.Entry;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlainIniTest {

  private static List<Entry> readByLibrary(String text) throws Exception {
    INIConfiguration ini = new INIConfiguration();
    ini.read(new StringReader(text));
    List<Entry> entries = new ArrayList<>();
    for (ImmutableNode section : ini.getNodeModel().getInMemoryRepresentation()) {
      for (ImmutableNode key : section) {
        entries.add(
            new Entry(section.getNodeName(), key.getNodeName(), String.valueOf(key.getValue())));
      }
    }
    return entries;
  }

  /** Guards against a file that means something else to the parser than to the INI library. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "[host]\nid = h1\nroles = proxy, control\n",
        "\n# a = b\n; c\n[host]\n  id=h1  \n[network]\ninner-address = 10.0.0.1:7001\n",
        "[a]\nseeds = 1.2.3.4:5,1.2.3.5:5\nk = a=b\n[b]\nk = v: w [x] ${y} {{z}}\nk = twice\n"
      })
  void readsWhatTheLibraryReads(String text) throws Exception {
    assertEquals(Optional.of(readByLibrary(text)), PlainIni.parse(text.lines().toList()));
  }

  /** Guards against quotes, escapes and comments that become part of a value. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "k = \"v\"",
        "k = 'v'",
        "k = a\\",
        "k = v ; c",
        "k = v # c",
        "k =",
        "k",
        "k: v",
        "a.b = v",
        "[a",
        "[]",
        "[a.b]",
        "[a]\n[b]"
      })
  void leavesOtherFormsToTheLibrary(String line) {
    assertEquals(Optional.empty(), PlainIni.parse(("[s]\nk = v\n" + line).lines().toList()));
  }

  /** Guards against values before the first section, which the library refuses. */
  @Test
  void leavesKeysWithoutSectionToTheLibrary() {
    assertEquals(Optional.empty(), PlainIni.parse(List.of("k = v", "[s]", "k = v")));
  }
}
