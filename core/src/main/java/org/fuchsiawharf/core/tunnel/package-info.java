/** Connections to endpoints that lead through another instance, for an instance that cannot reach the endpoints. */
@NullMarked
package org.fuchsiawharf.core.tunnel;

import org.jspecify.annotations.NullMarked;
