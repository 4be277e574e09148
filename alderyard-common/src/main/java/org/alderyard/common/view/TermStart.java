package org.alderyard.common.view;

/**
 * The log position at which a term of a group starts. Entries of older terms past this index are
 * lost.
 *
 * @param term the term
 * @param startIndex the last log index of the new primary at the start of the term
 * @param previousTerm the term of the entry at that index; the new primary's log has no entries of
 *     the terms between that term and this one
 */
public record TermStart(long term, long startIndex, long previousTerm) {

  /** Creates the start of a term that directly follows the previous term. */
  public TermStart(long term, long startIndex) {
    this(term, startIndex, term - 1);
  }
}
