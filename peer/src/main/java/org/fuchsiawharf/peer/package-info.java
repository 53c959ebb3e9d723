/** Messages between instances: Netty connections that carry protobuf frames. */
@NullMarked
package org.fuchsiawharf.peer;

import org.jspecify.annotations.NullMarked;
