/**
 * Calls between daemons: admission requests to limit owners, table changes read by one daemon for
 * its failure domain, and endpoint loads.
 */
package org.heatherspread.node.peer;
