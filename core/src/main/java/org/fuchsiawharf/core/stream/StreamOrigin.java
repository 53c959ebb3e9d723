package org.fuchsiawharf.core.stream;

/**
 * What wrote the first event of a stream, and alone can go on with it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the service
 * @param version the version of the endpoint's software, empty if the directory lists none
 */
public record StreamOrigin(String service, String version) {}
