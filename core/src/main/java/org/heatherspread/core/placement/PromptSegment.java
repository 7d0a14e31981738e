package org.heatherspread.core.placement;

/** A segment of a prompt that other requests may share. Immutable. */
public record PromptSegment(long id, int tokens) {}
