/** Endpoint state and endpoint selection. */
@NullMarked
package org.fuchsiawharf.core.routing;

import org.jspecify.annotations.NullMarked;
