/**
 * Configuration and registered endpoints in the form that the relay uses for its decisions. All
 * types are immutable.
 */
package org.heatherspread.core.serving;
