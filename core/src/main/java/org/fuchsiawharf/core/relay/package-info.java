/** The life of one relayed request, from its arrival to its only answer. */
@NullMarked
package org.fuchsiawharf.core.relay;

import org.jspecify.annotations.NullMarked;
