/** HTTP/1.1 client for calls to endpoints and other external systems. */
@NullMarked
package org.fuchsiawharf.relay.client;

import org.jspecify.annotations.NullMarked;
