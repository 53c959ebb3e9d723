/** The platform's key-value service as the system sees it. */
@NullMarked
package org.fuchsiawharf.core.store;

import org.jspecify.annotations.NullMarked;
