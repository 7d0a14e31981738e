/** Selection of the endpoint for a request by cached prompt segments, load and health. */
package org.heatherspread.core.placement;
