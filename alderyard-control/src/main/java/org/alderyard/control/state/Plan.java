package org.alderyard.control.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.alderyard.protocol.generated.state.ObjectState;

/**
 * What a command changes. Nothing is changed while it is planned, so that a command that turns out
 * to be impossible leaves every table as it was.
 */
final class Plan {
  private final List<ObjectState> objects = new ArrayList<>();
  private final List<Runnable> effects = new ArrayList<>();

  /** Adds the new state of an object of the view. */
  Plan change(ObjectState object) {
    objects.add(object);
    return this;
  }

  /** Adds the new states of objects of the view. */
  Plan change(Collection<ObjectState> changed) {
    objects.addAll(changed);
    return this;
  }

  /** Adds a change of a table; it must not fail. The effects run in the order of these calls. */
  Plan effect(Runnable effect) {
    effects.add(effect);
    return this;
  }

  /** Returns the new states of objects of the view. */
  List<ObjectState> objects() {
    return objects;
  }

  /** Changes the tables. */
  void commit() {
    effects.forEach(Runnable::run);
  }
}
