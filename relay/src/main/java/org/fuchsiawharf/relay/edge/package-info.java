/** The callers' edge: connections, requests and the answers to them. */
@NullMarked
package org.fuchsiawharf.relay.edge;

import org.jspecify.annotations.NullMarked;
