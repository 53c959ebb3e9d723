/** Calls to endpoints and the platform over HTTP. */
@NullMarked
package org.fuchsiawharf.http.client;

import org.jspecify.annotations.NullMarked;
