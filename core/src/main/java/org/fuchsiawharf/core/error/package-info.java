/** Unchecked exceptions with stable error codes, shared by all modules. */
@NullMarked
package org.fuchsiawharf.core.error;

import org.jspecify.annotations.NullMarked;
