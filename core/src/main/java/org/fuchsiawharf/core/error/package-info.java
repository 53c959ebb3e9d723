/** Coded, unchecked errors shared by every module. */
@NullMarked
package org.fuchsiawharf.core.error;

import org.jspecify.annotations.NullMarked;
