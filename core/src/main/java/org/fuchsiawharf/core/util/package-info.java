/** Argument checks. */
@NullMarked
package org.fuchsiawharf.core.util;

import org.jspecify.annotations.NullMarked;
