/** HTTP server for callers and operators. */
@NullMarked
package org.fuchsiawharf.http.server;

import org.jspecify.annotations.NullMarked;
