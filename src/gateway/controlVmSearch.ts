import type { ChannelClient } from "../transport/channel.js";

/** Time for which a candidate is asked alone; one that is down or unreachable gives no answer at all. */
const staggerMs = 100;
/** Time after the last candidate was asked until those that have answered are asked again. */
const settleMs = 150;

/** Connection to a control VM. */
export type SearchClient = Pick<ChannelClient, "address" | "isConnected" | "close">;

/** Options of a search. */
export interface ControlVmSearchOptions<Client extends SearchClient, Answer> {
    readonly connect: (address: string) => Client;
    /** Asks a control VM; resolves with undefined if it cannot be used or reached. */
    readonly ask: (client: Client) => Promise<Answer | undefined>;
}

/** A control VM that can be used, with its answer. */
export interface FoundControlVm<Client extends SearchClient, Answer> {
    readonly client: Client;
    readonly answer: Answer;
}

/**
 * Finds a control VM that can be used, when the one in use gives no answer or hears no leader. Candidates are asked side by
 * side, so that those that are down do not delay the others, and again until one can be used: after the loss of a leader,
 * each of them hears none for a moment. Connections are kept until the search ends.
 */
export class ControlVmSearch<Client extends SearchClient, Answer> {
    private readonly clients = new Map<string, Client>();
    /** Control VMs that were asked and have not answered; a later round waits for the same answer. */
    private readonly pendingAnswers = new Map<Client, Promise<Answer | undefined>>();

    /** `current` is an open connection that the search takes over. */
    constructor(private readonly options: ControlVmSearchOptions<Client, Answer>, current?: Client) {
        if (current !== undefined) {
            this.clients.set(current.address, current);
        }
    }

    /** Asks each candidate once, the first one first; resolves with the first usable one, or undefined. */
    runRound(candidates: readonly string[]): Promise<FoundControlVm<Client, Answer> | undefined> {
        return new Promise(resolve => {
            let askedCount = 0;
            let answeredCount = 0;
            let isSettled = false;
            let timer: NodeJS.Timeout | undefined;
            const settle = (found?: FoundControlVm<Client, Answer>) => {
                isSettled = true;
                clearTimeout(timer);
                resolve(found);
            };
            const askNext = () => {
                clearTimeout(timer);
                if (askedCount === candidates.length) {
                    timer = setTimeout(() => settle(), settleMs);
                    return;
                }
                const client = this.getClient(candidates[askedCount]);
                askedCount++;
                timer = setTimeout(askNext, staggerMs);
                void this.ask(client).then(answer => {
                    answeredCount++;
                    if (isSettled) {
                        return;
                    }
                    if (answer !== undefined) {
                        settle({ client, answer });
                    }
                    else if (askedCount < candidates.length) {
                        askNext();
                    }
                    else if (answeredCount === candidates.length) {
                        settle();
                    }
                });
            };
            askNext();
        });
    }

    /** Returns the addresses of control VMs that were asked and give no answer at the moment. */
    listSilent(): readonly string[] {
        return [...this.clients.values()]
            .filter(client => this.pendingAnswers.has(client) || !client.isConnected())
            .map(client => client.address);
    }

    /** Ends the search and closes all connections but one. */
    close(used?: Client): void {
        [...this.clients.values()].filter(client => client !== used).forEach(client => client.close());
        this.clients.clear();
    }

    private ask(client: Client): Promise<Answer | undefined> {
        const pendingAnswer = this.pendingAnswers.get(client) ??
            this.options.ask(client).finally(() => this.pendingAnswers.delete(client));
        this.pendingAnswers.set(client, pendingAnswer);
        return pendingAnswer;
    }

    private getClient(address: string): Client {
        const client = this.clients.get(address) ?? this.options.connect(address);
        this.clients.set(address, client);
        return client;
    }
}
