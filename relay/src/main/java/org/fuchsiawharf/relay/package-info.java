/** Types shared by the server and client sides of the HTTP/1.1 relay. */
@NullMarked
package org.fuchsiawharf.relay;

import org.jspecify.annotations.NullMarked;
