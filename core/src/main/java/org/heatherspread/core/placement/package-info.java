/**
 * Which endpoint runs a request: what each endpoint holds, how busy it is, and how well it works.
 */
package org.heatherspread.core.placement;
