/** Processing of relayed requests, from their arrival to their single response. */
@NullMarked
package org.fuchsiawharf.core.relay;

import org.jspecify.annotations.NullMarked;
