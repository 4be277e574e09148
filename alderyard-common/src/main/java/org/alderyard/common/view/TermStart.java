package org.alderyard.common.view;

/**
 * Where a term of a group begins: what older terms wrote past this index was lost.
 *
 * @param term the term
 * @param startIndex the last log index that the new primary held when the term began
 * @param previousTerm the term of the entry at that index; the new primary's log holds no entry of
 *     the terms between it and this one
 */
public record TermStart(long term, long startIndex, long previousTerm) {

  /** Creates a start that follows the term right before it. */
  public TermStart(long term, long startIndex) {
    this(term, startIndex, term - 1);
  }
}
