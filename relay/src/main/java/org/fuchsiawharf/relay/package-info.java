/** The relay of callers' requests over HTTP/1.1: what its edges share. */
@NullMarked
package org.fuchsiawharf.relay;

import org.jspecify.annotations.NullMarked;
