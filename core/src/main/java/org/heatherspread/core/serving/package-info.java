/**
 * What operators confirmed and endpoints registered, in the terms that the relay decides by. All
 * types are immutable.
 */
package org.heatherspread.core.serving;
