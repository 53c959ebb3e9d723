/** Claims that keep a keyed request from running through two instances. */
@NullMarked
package org.fuchsiawharf.core.claims;

import org.jspecify.annotations.NullMarked;
