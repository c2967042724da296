//! Help texts.

/// Help of the program and of each verb.
pub(crate) struct HelpText;

/// One verb's help.
struct VerbHelp {
    words: &'static [&'static str],
    usage: &'static str,
    about: &'static str,
    flags: &'static [&'static str],
}

const VERBS: [VerbHelp; 10] = [
    VerbHelp {
        words: &["check"],
        usage: "check DIR",
        about: "Check every .toml file of a directory and report all faults at once.",
        flags: &[],
    },
    VerbHelp {
        words: &["plan"],
        usage: "plan DIR [--prune]",
        about: "Show how a directory differs from what is in force, and the moves of keys\n\
                that applying it would cause. Writes nothing. Give the revision that it\n\
                prints to `apply --revision` to apply just this plan.",
        flags: &["store", "timeout-ms", "prune", "preset"],
    },
    VerbHelp {
        words: &["apply"],
        usage: "apply DIR [--prune] [--revision N] [--wait]",
        about: "Put a directory's declarations in force as the next revision. Without a\n\
                difference nothing is written. Objects that are in force and not declared\n\
                are named, and removed only with --prune. To roll back, apply an older\n\
                commit of the files.",
        flags: &[
            "store",
            "operator",
            "timeout-ms",
            "prune",
            "preset",
            "revision",
            "wait",
            "instance",
            "wait-timeout-ms",
        ],
    },
    VerbHelp {
        words: &["preset", "use"],
        usage: "preset use NAME [--revision N] [--wait]",
        about: "Put a preset in force. Exactly one preset is in force at any time.",
        flags: &[
            "store",
            "operator",
            "timeout-ms",
            "revision",
            "wait",
            "instance",
            "wait-timeout-ms",
        ],
    },
    VerbHelp {
        words: &["preset", "list"],
        usage: "preset list",
        about: "List the declared presets and name the one in force.",
        flags: &["store", "timeout-ms"],
    },
    VerbHelp {
        words: &["history"],
        usage: "history [--write ID]",
        about: "List the latest accepted changes: who, when and what. With --write, say\n\
                whether that write was accepted; exit code 0 when it was, 1 when not.",
        flags: &["store", "timeout-ms", "write"],
    },
    VerbHelp {
        words: &["status"],
        usage: "status",
        about: "Show instances, services, servers, their load and their slices.",
        flags: &["instance", "timeout-ms"],
    },
    VerbHelp {
        words: &["dump"],
        usage: "dump",
        about: "Show the whole state of each instance, as JSON.",
        flags: &["instance", "timeout-ms"],
    },
    VerbHelp {
        words: &["drain"],
        usage: "drain SERVER|INSTANCE [--undo] [--wait]",
        about: "Give a server or an instance no new work. A server's drain is a revision\n\
                of the configuration and holds until `drain SERVER --undo`. An instance\n\
                drains for good; it needs --instance and --token.",
        flags: &[
            "store",
            "operator",
            "timeout-ms",
            "revision",
            "undo",
            "wait",
            "instance",
            "wait-timeout-ms",
            "token",
        ],
    },
    VerbHelp {
        words: &["explain"],
        usage: "explain SERVICE KEY",
        about: "Show a key's slice, part, leader, owner, fence, the time that its grant has\n\
                left, and the latest decisions about its part.",
        flags: &["instance", "timeout-ms"],
    },
];

const FLAGS: [(&str, &str); 13] = [
    (
        "store",
        "--store ADDRESS         store's address [GERANIUMMAST_STORE_ADDRESS]",
    ),
    (
        "instance",
        "--instance ADDRESS      operators' port of an instance; repeatable, or a\n                          list with commas [GERANIUMMAST_OPERATOR_ADDRESS]",
    ),
    (
        "token",
        "--token TOKEN           operators' token; rather set the variable, as\n                          arguments are public [GERANIUMMAST_OPERATOR_TOKEN]",
    ),
    (
        "operator",
        "--operator NAME         name kept with the change\n                          [GERANIUMMAST_OPERATOR_NAME, else USER]",
    ),
    (
        "timeout-ms",
        "--timeout-ms N          time to get an answer, 10000 ms when not given\n                          [GERANIUMMAST_TIMEOUT_MS]",
    ),
    (
        "wait",
        "--wait                  wait until in force on every --instance; names those\n                          still behind",
    ),
    (
        "wait-timeout-ms",
        "--wait-timeout-ms N     longest wait, 20000 ms when not given\n                          [GERANIUMMAST_WAIT_TIMEOUT_MS]",
    ),
    (
        "prune",
        "--prune                 remove objects that nobody declares",
    ),
    (
        "preset",
        "--preset NAME           preset in force after the first apply of all;\n                          `ordinary` when declared, else the first by name",
    ),
    (
        "revision",
        "--revision N            change only this revision; lost when it has grown",
    ),
    ("undo", "--undo                  give the server work again"),
    ("write", "--write ID              write to look for"),
    ("json", "--json                  JSON for scripts"),
];

const EXIT_CODES: &str = "\
Exit codes:
  0  done, or already in force
  1  findings, or refused; nothing changed
  2  a flag, variable or argument is faulty; nothing was tried
  3  lost a race to another operator, who is named; nothing changed
  4  outcome unclear, the store did not answer; the output names the command,
     `geraniummast history --write ID`, that tells later what came of it
  5  the store or an instance did not answer; nothing changed
  6  accepted, not yet in force on every instance; those behind are named
";

impl HelpText {
    /// Help for the verb that `words` begin with, or of the whole program.
    pub(crate) fn of(words: &[String]) -> String {
        let Some(verb) = find(words) else {
            return Self::program();
        };
        let mut text = format!(
            "Usage: geraniummast {}\n\n{}\n\nOptions:\n",
            verb.usage, verb.about
        );
        for (name, line) in FLAGS {
            if name == "json" || verb.flags.contains(&name) {
                text += &format!("  {line}\n");
            }
        }
        text + "\n" + EXIT_CODES
    }

    /// Usage of the verb that `words` begin with.
    pub(crate) fn usage(words: &[String]) -> Option<&'static str> {
        find(words).map(|verb| verb.usage)
    }

    /// Names of all verbs.
    pub(crate) fn verbs() -> String {
        let names: Vec<_> = VERBS.iter().map(|verb| verb.words.join(" ")).collect();
        names.join(", ")
    }

    /// Whether the verb that `words` begin with takes `flag`.
    pub(crate) fn takes(words: &[String], flag: &str) -> bool {
        let known = FLAGS.iter().any(|(name, _)| *name == flag);
        // A flag that no verb knows is reported once, where it is read.
        !known || flag == "json" || find(words).is_none_or(|verb| verb.flags.contains(&flag))
    }

    fn program() -> String {
        let mut text = "Usage: geraniummast VERB [OPTIONS]\n\nVerbs:\n".to_string();
        for verb in &VERBS {
            text += &format!("  {}\n", verb.usage);
        }
        text += "\n`geraniummast VERB --help` tells more. Every verb takes --json.\n\n";
        text + EXIT_CODES
    }
}

fn find(words: &[String]) -> Option<&'static VerbHelp> {
    VERBS.iter().find(|verb| {
        words.len() >= verb.words.len() && verb.words.iter().zip(words).all(|(a, b)| a == b)
    })
}
