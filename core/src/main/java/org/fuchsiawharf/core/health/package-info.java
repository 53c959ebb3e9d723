/** Detection and ejection of endpoints that fail or are slow. */
@NullMarked
package org.fuchsiawharf.core.health;

import org.jspecify.annotations.NullMarked;
