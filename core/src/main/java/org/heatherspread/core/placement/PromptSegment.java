package org.heatherspread.core.placement;

/** A part of a prompt that other requests may share. */
public record PromptSegment(long id, int tokens) {}
