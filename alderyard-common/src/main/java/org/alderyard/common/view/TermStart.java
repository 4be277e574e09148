package org.alderyard.common.view;

/**
 * Where a term of a group begins: what older terms wrote past this index was lost.
 *
 * @param term the term
 * @param startIndex the last log index that the new primary held when the term began
 */
public record TermStart(long term, long startIndex) {}
