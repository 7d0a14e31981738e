package org.heatherspread.core.placement;

/** A part of a prompt that other requests may share. */
public record PromptPart(long id, int tokens) {}
