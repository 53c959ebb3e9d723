/** Interfaces through which the decisions reach callers, endpoints and logs, and the events that come back. */
@NullMarked
package org.fuchsiawharf.core.port;

import org.jspecify.annotations.NullMarked;
