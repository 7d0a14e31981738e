/** Admission of requests when endpoints cannot serve all of them in time. */
package org.heatherspread.core.admission;
