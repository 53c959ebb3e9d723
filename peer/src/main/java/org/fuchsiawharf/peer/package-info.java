/** Communication between instances: protobuf frames over Netty connections. */
@NullMarked
package org.fuchsiawharf.peer;

import org.jspecify.annotations.NullMarked;
