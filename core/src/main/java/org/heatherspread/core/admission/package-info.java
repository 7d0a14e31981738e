/** Which requests are let in when there is more work than endpoints do in time. */
package org.heatherspread.core.admission;
