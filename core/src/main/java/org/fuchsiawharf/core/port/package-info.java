/** Ports from the decision loop to callers, endpoints and logs, and the events that it processes. */
@NullMarked
package org.fuchsiawharf.core.port;

import org.jspecify.annotations.NullMarked;
