/** Header names, JSON and connection support shared by the HTTP client and server. */
@NullMarked
package org.fuchsiawharf.http;

import org.jspecify.annotations.NullMarked;
