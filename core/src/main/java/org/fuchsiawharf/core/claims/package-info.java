/** Claims on idempotency keys, which prevent two instances from running the same request. */
@NullMarked
package org.fuchsiawharf.core.claims;

import org.jspecify.annotations.NullMarked;
