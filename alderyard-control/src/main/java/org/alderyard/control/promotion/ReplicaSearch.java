package org.alderyard.control.promotion;

import java.util.concurrent.CompletableFuture;

/** Searches for the replica of a group to promote. */
@FunctionalInterface
interface ReplicaSearch {

  /** Runs the search. The future never fails. */
  CompletableFuture<ReplicaChoice> run();
}
