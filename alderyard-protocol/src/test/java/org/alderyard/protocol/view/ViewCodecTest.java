package org.alderyard.protocol.view;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.state.Endpoint;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Server;
import org.junit.jupiter.api.Test;

/** Views that share unchanged tables with the previous view. */
class ViewCodecTest {
  private static final int STEPS = 2_000;

  /**
   * Guards against a table that is edited in place and an index that misses an edit. They would
   * show as a change in a view that a request still uses, or as a server in two groups.
   */
  @Test
  void editedViewEqualsRebuiltViewAndLeavesThePreviousUnchanged() {
    SplittableRandom random = new SplittableRandom(11);
    View view = View.EMPTY;
    for (int step = 1; step <= STEPS; step++) {
      String textBefore = text(view);
      View next = ViewCodec.apply(view, new ViewVersion(1, step), objects(random));
      assertThat(text(view)).isEqualTo(textBefore);
      assertThat(text(next)).isEqualTo(text(ViewCodec.view(ViewCodec.snapshot(next))));
      view = next;
    }
    assertThat(view.servers()).isNotEmpty();
  }

  private static String text(View view) {
    StringBuilder text = new StringBuilder();
    text.append(view.version()).append(view.groups()).append(view.servers());
    for (int group = 0; group < 4; group++) {
      text.append(view.serversOf(new GroupId("g" + group)));
    }
    return text.toString();
  }

  private static List<ObjectState> objects(SplittableRandom random) {
    List<ObjectState> objects = new ArrayList<>();
    for (int i = 0; i < 1 + random.nextInt(3); i++) {
      String group = "g" + random.nextInt(4);
      String server = "s" + random.nextInt(6);
      ObjectState.Builder object = ObjectState.newBuilder();
      switch (random.nextInt(4)) {
        case 0 -> object.setGroup(Group.newBuilder().setId(group).setTerm(random.nextInt(9)));
        case 1 -> object.setRemovedGroup(group);
        case 2 -> object.setRemovedServer(server);
        default ->
            object.setServer(
                Server.newBuilder()
                    .setId(server)
                    .setGroup(group)
                    .setZone("z")
                    .setAddress(Endpoint.newBuilder().setAddress("127.0.0.1").setPort(1)));
      }
      objects.add(object.build());
    }
    return objects;
  }
}
