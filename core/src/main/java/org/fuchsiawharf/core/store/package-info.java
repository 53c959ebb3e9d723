/** Access to the key-value service of the platform. */
@NullMarked
package org.fuchsiawharf.core.store;

import org.jspecify.annotations.NullMarked;
