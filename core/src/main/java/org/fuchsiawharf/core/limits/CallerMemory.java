package org.fuchsiawharf.core.limits;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Counts the connections of one port and the memory that they hold, and decides which of them are closed.
 *
 * <p>If the connections together hold more than the maximum, the one that holds most is closed, until they do not. If
 * there are too many connections, the one that has waited longest for a complete request is closed, or else the one whose
 * client has not read its response for longest or has sent requests ahead of it; if all of them have one request in
 * progress, the new one is refused. The sum of the accounts never exceeds the maximum when a method
 * returns. Confined to one thread.
 */
public final class CallerMemory {
    /** The bounds for which a connection is closed. */
    public enum Limit {
        MAX_CONNECTIONS,
        MAX_BYTES;

        /**
         * Gets the name of the setting of the bound.
         *
         * @return the name, never null
         */
        public String getSetting() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** What a connection does, in the order in which connections are closed for a new one. */
    public enum State {
        /** The connection has no complete request. */
        WAITING,
        /** The client has not read a response, or has sent requests without waiting for it. */
        UNREAD,
        /** A request is in progress. */
        BUSY
    }

    /** A connection that can be closed. */
    @FunctionalInterface
    public interface Connection {
        /**
         * Closes the connection, whose account is closed already.
         *
         * @param limit the bound that the connection exceeds, not null
         */
        void onLimited(Limit limit);
    }

    private final int maxConnections;
    private final long maxBytes;
    private final Set<Account> accounts = new HashSet<>();
    private final Map<State, Set<Account>> byState = new EnumMap<>(State.class);
    private long totalBytes;

    /**
     * Creates a count without connections.
     *
     * @param maxConnections the maximum number of connections, at least 1
     * @param maxBytes the maximum memory that all connections together hold, in bytes
     */
    public CallerMemory(int maxConnections, long maxBytes) {
        this.maxConnections = maxConnections;
        this.maxBytes = maxBytes;
        for (State state : State.values()) {
            byState.put(state, new LinkedHashSet<>());
        }
    }

    /**
     * Opens the account of a new connection, which may close another one.
     *
     * @param connection the connection, not null
     * @return the account, null if the connection is refused
     */
    public @Nullable Account open(Connection connection) {
        if (accounts.size() >= maxConnections) {
            Account longest = Stream.of(State.WAITING, State.UNREAD)
                    .flatMap(state -> getAccounts(state).stream())
                    .findFirst()
                    .orElse(null);
            if (longest == null) {
                return null;
            }
            limit(longest, Limit.MAX_CONNECTIONS);
        }
        Account account = new Account(connection);
        accounts.add(account);
        getAccounts(State.WAITING).add(account);
        return account;
    }

    /**
     * Gets the memory that all connections hold.
     *
     * @return the sum of the accounts, in bytes
     */
    public long getTotalBytes() {
        return totalBytes;
    }

    /**
     * Gets the number of connections.
     *
     * @return the number of open accounts
     */
    public int getConnectionCount() {
        return accounts.size();
    }

    private Set<Account> getAccounts(State state) {
        return byState.getOrDefault(state, Set.of());
    }

    private void closeLargest() {
        while (totalBytes > maxBytes) {
            Account largest = null;
            for (Account account : accounts) {
                if (largest == null || account.bytes > largest.bytes) {
                    largest = account;
                }
            }
            if (largest == null) {
                return;
            }
            limit(largest, Limit.MAX_BYTES);
        }
    }

    private void limit(Account account, Limit limit) {
        account.close();
        account.connection.onLimited(limit);
    }

    /** What one connection holds. */
    public final class Account {
        private final Connection connection;
        private long bytes;
        private State state = State.WAITING;

        private Account(Connection connection) {
            this.connection = connection;
        }

        /**
         * Sets the memory that the connection holds, which may close this connection or another one.
         *
         * @param newBytes the memory as the process holds it, in bytes; ignored once the account is closed
         */
        public void setBytes(long newBytes) {
            if (!accounts.contains(this)) {
                return;
            }
            boolean grows = newBytes > bytes;
            totalBytes += newBytes - bytes;
            bytes = newBytes;
            if (grows) {
                closeLargest();
            }
        }

        /**
         * Sets what the connection does; the time in a state begins when it differs from the one before.
         *
         * @param newState the state, not null; ignored once the account is closed
         */
        public void setState(State newState) {
            if (newState != state && accounts.contains(this)) {
                getAccounts(state).remove(this);
                state = newState;
                getAccounts(newState).add(this);
            }
        }

        /** Begins the time in the current state anew, because the client made progress. */
        public void touch() {
            if (getAccounts(state).remove(this)) {
                getAccounts(state).add(this);
            }
        }

        /** Closes the account with its connection; further calls have no effect. */
        public void close() {
            if (accounts.remove(this)) {
                getAccounts(state).remove(this);
                totalBytes -= bytes;
                bytes = 0;
            }
        }
    }
}
