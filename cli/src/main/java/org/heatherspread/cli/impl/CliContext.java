package org.heatherspread.cli.impl;

/**
 * The client and the printer that a command runs with. Immutable.
 *
 * @param client client of the operator API
 * @param printer printer of results
 */
public record CliContext(OperatorClient client, Printer printer) {}
