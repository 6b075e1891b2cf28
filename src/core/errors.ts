/** Messages of all errors, by code. Placeholders in braces are replaced with the error's details. */
export const errorMessages = {
    "settings-invalid": "{file}:{line}: {field}: expected {expected}, got {actual}",
    "document-invalid": "{field}: expected {expected}, got {actual}",
    "file-missing": "{file}: the file does not exist or cannot be read",
    "channel-closed": "the connection to {peer} closed before the answer arrived",
    "channel-full": "{peer} has not read {unsentBytes} bytes",
    "channel-timeout": "{peer} did not answer {method} within {timeoutMs} ms",
    "channel-unauthenticated": "{peer} did not prove knowledge of the cluster secret",
    "problems-found": "{count} problems found",
    "control-unavailable": "no control VM could answer: {reason}",
    "operator-unauthorized": "{address} does not accept the token of the settings file",
    "runbook-command-unknown": "there is no runbook command {name}; the catalogue has {known}",
    "request-unknown": "no line in {count} files mentions the request {id}",
    "runbook-arguments": "{name} takes {expected} arguments, got {actual}",
    "body-too-large": "the body of the request exceeds the limit of {limitBytes} bytes",
    "message-too-large": "a message of {sizeBytes} bytes exceeds the limit of {limitBytes} bytes",
    "leader-unknown": "no control VM leads at the moment; nothing was changed",
    "leader-refused": "the leading control VM did not take the call: {reason}",
    "leader-unconfirmed": "no quorum of control VMs confirmed the leader within {timeoutMs} ms",
    "update-unfit": "an update of the routes applies to version {base}, but the current version is {held}",
    "method-unknown": "there is no method {method}",
    "message-malformed": "the parameters of {method} do not have the expected form",
    "storage-corrupt": "{file}: the block at byte {offsetBytes} is corrupt and is followed by valid blocks",
    "storage-damaged": "{file}: the file is damaged",
    "storage-incomplete": "{file}: the file is missing while other files of the data folder exist",
    "storage-failed": "{file}: {operation} failed: {reason}",
    "storage-full": "{file}: {operation} failed: the disk is full",
} as const;

export type ErrorCode = keyof typeof errorMessages;

/** Values for the placeholders of an error message. */
export type ErrorDetails = Readonly<Record<string, string | number>>;

/** Base class of all errors that figwharf throws. */
export class FigwharfError extends Error {
    constructor(readonly code: ErrorCode, readonly details: ErrorDetails = {}, options?: ErrorOptions) {
        super(formatErrorMessage(code, details), options);
        this.name = new.target.name;
    }
}

/** Invalid settings or declarations. */
export class SettingsError extends FigwharfError {}

/** An external message or file with invalid content. */
export class DocumentError extends FigwharfError {}

/** Settings or declarations with one or more problems. */
export class ProblemListError extends FigwharfError {
    constructor(readonly problems: readonly SettingsError[]) {
        super("problems-found", { count: problems.length });
    }
}

/** An operator's command that cannot be executed. */
export class OperatorError extends FigwharfError {}

/** A message between two figwharf processes that could not be delivered or was not answered. */
export class ChannelError extends FigwharfError {}

/** A call that a control VM cannot answer, or an answer that cannot be applied. */
export class ControlError extends FigwharfError {}

/** A file that cannot be read or written, or whose content is damaged. */
export class StorageError extends FigwharfError {}

/** Returns the message of an error code with its placeholders replaced. */
export function formatErrorMessage(code: ErrorCode, details: ErrorDetails): string {
    return errorMessages[code].replace(
        /\{(\w+)\}/g,
        (placeholder, name: string) => String(details[name] ?? placeholder),
    );
}
