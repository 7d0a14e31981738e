/** Moves a service to another version of its endpoints step by step, without I/O. */
package org.heatherspread.core.rollout;
