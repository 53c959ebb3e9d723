/** Endpoint state and the choice of an endpoint for a call. */
@NullMarked
package org.fuchsiawharf.core.routing;

import org.jspecify.annotations.NullMarked;
