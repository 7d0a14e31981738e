package org.heatherspread.cli.impl;

/**
 * What every command may use. Immutable.
 *
 * @param client calls the daemons
 * @param printer prints answers
 */
public record CliContext(OperatorClient client, Printer printer) {}
