/** HTTP/1.1 server for callers, and the relay of their requests to endpoints. */
@NullMarked
package org.fuchsiawharf.relay.edge;

import org.jspecify.annotations.NullMarked;
