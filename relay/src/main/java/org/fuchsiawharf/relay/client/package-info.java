/** Calls over HTTP/1.1 to endpoints and other outside systems. */
@NullMarked
package org.fuchsiawharf.relay.client;

import org.jspecify.annotations.NullMarked;
