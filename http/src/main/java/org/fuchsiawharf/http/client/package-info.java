/** HTTP client for endpoints and the platform. */
@NullMarked
package org.fuchsiawharf.http.client;

import org.jspecify.annotations.NullMarked;
