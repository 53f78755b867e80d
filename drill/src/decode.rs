//! Lines and settings of the wire, field by field. What is malformed is named, never guessed.

use petrelshore::interface::*;
use serde_json::Value;
use std::str::FromStr;

/// What was wrong with the input, in one line.
pub type Malformed = String;

/// One line: a message's kind and its fields. A text field runs to the end of the line.
pub struct Line<'a> {
    pub kind: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

const TEXT_FIELDS: [&str; 2] = ["options", "message"];

impl<'a> Line<'a> {
    pub fn split(text: &'a str) -> Result<Self, Malformed> {
        let (kind, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let (name, after) =
                rest.split_once('=').ok_or_else(|| format!("{kind}: '{rest}' is not name=value"))?;
            if name.is_empty() || name.contains(' ') {
                return Err(format!("{kind}: '{name}' is not name=value"));
            }
            if TEXT_FIELDS.contains(&name) {
                fields.push((name, after));
                break;
            }
            let (value, next) = after.split_once(' ').unwrap_or((after, ""));
            fields.push((name, value));
            rest = next;
        }
        Ok(Line { kind, fields })
    }

    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(field, _)| *field == name).map(|(_, value)| *value)
    }

    pub fn need(&self, name: &str) -> Result<&'a str, Malformed> {
        self.text(name).ok_or_else(|| format!("{}: field {name} is missing", self.kind))
    }

    fn wrong(&self, name: &str, value: &str) -> Malformed {
        format!("{}: field {name} is malformed or out of range: '{value}'", self.kind)
    }

    pub fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>, Malformed> {
        self.text(name).map(|value| value.parse().map_err(|_| self.wrong(name, value))).transpose()
    }

    pub fn whole<T: FromStr>(&self, name: &str) -> Result<T, Malformed> {
        let value = self.need(name)?;
        value.parse().map_err(|_| self.wrong(name, value))
    }

    pub fn number(&self, name: &str) -> Result<Option<f64>, Malformed> {
        let number = self.parsed::<f64>(name)?;
        match number {
            Some(value) if !value.is_finite() || value < 0.0 => Err(self.wrong(name, self.need(name)?)),
            other => Ok(other),
        }
    }

    pub fn amount(&self, name: &str) -> Result<f64, Malformed> {
        self.number(name)?.ok_or_else(|| format!("{}: field {name} is missing", self.kind))
    }

    pub fn flag(&self, name: &str) -> Result<bool, Malformed> {
        match self.text(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.wrong(name, value)),
        }
    }

    /// An id of 16 hex digits.
    pub fn hex(&self, name: &str) -> Result<Option<u64>, Malformed> {
        let Some(value) = self.text(name) else { return Ok(None) };
        let digits = value.len() == 16 && value.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = u64::from_str_radix(value, 16).ok().filter(|_| digits);
        id.map(Some).ok_or_else(|| self.wrong(name, value))
    }

    pub fn ticket(&self) -> Result<SeqId, Malformed> {
        self.hex("ticket")?.map(SeqId).ok_or_else(|| format!("{}: field ticket is missing", self.kind))
    }

    /// Where a name stands among those of the settings.
    pub fn index(&self, name: &str, known: &[String]) -> Result<usize, Malformed> {
        let value = self.need(name)?;
        known.iter().position(|k| k == value).ok_or_else(|| self.wrong(name, value))
    }

    pub fn report(&self, fields: &[String]) -> Result<Option<Report>, Malformed> {
        let Some(row) = self.text("healthInfo") else { return Ok(None) };
        let values: Result<Vec<f64>, _> = row.split(',').map(str::parse).collect();
        let values = values.map_err(|_| self.wrong("healthInfo", row))?;
        if values.len() != fields.len() || values.iter().any(|v| !v.is_finite()) {
            return Err(self.wrong("healthInfo", row));
        }
        let value = |name: &str| fields.iter().position(|f| f == name).map(|at| values[at].max(0.0));
        let queued_prompt_tokens = value("x1").map(|thousands| thousands * 1000.0);
        Ok(Some(Report { memory_share: value("x0"), queued_prompt_tokens }))
    }
}

/// The names that settings give to what the wire then calls by name.
pub struct Names {
    pub types: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report: Vec<String>,
}

fn at<'a>(value: &'a Value, path: &str) -> Result<&'a Value, Malformed> {
    let found = path.split('.').try_fold(value, |value, key| value.get(key));
    found.ok_or_else(|| format!("CONFIGURE: setting {path} is missing"))
}

fn wrong(path: &str, value: &Value) -> Malformed {
    format!("CONFIGURE: setting {path} is malformed or out of range: {value}")
}

fn nanos(value: &Value, path: &str) -> Result<Nanos, Malformed> {
    let value = at(value, path)?;
    value.as_u64().filter(|&n| n < u64::MAX / 8).ok_or_else(|| wrong(path, value))
}

fn number(value: &Value, path: &str) -> Result<f64, Malformed> {
    let value = at(value, path)?;
    value.as_f64().filter(|n| n.is_finite() && *n >= 0.0).ok_or_else(|| wrong(path, value))
}

fn flag(value: &Value, path: &str) -> Result<bool, Malformed> {
    let value = at(value, path)?;
    value.as_bool().ok_or_else(|| wrong(path, value))
}

fn word<'a>(value: &'a Value, path: &str) -> Result<&'a str, Malformed> {
    let value = at(value, path)?;
    value.as_str().ok_or_else(|| wrong(path, value))
}

fn list<'a>(value: &'a Value, path: &str) -> Result<&'a [Value], Malformed> {
    let value = at(value, path)?;
    value.as_array().map(Vec::as_slice).ok_or_else(|| wrong(path, value))
}

fn words(value: &Value, path: &str) -> Result<Vec<String>, Malformed> {
    let all = list(value, path)?.iter();
    all.map(|v| v.as_str().map(str::to_owned).ok_or_else(|| wrong(path, v))).collect()
}

fn named(value: &Value, path: &str) -> Result<Vec<String>, Malformed> {
    list(value, path)?.iter().map(|entry| word(entry, "name").map(str::to_owned)).collect()
}

fn traffic_type(lane: &Value, per_1000_us: &Value, pace: &Value) -> Result<TrafficType, Malformed> {
    let effect = match word(lane, "semantics")? {
        "free" => Effect::Repeatable,
        "single_shot" => Effect::OnceOnly,
        "guarded" => {
            let scope = match word(lane, "dedupScope")? {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                _ => return Err(wrong("lanes.dedupScope", lane)),
            };
            Effect::Tokened { scope, window: nanos(lane, "window")? }
        }
        _ => return Err(wrong("lanes.semantics", lane)),
    };
    let per_1000_us = per_1000_us.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
    Ok(TrafficType {
        utility: number(lane, "worth")?,
        latency_slo: nanos(lane, "aim")?,
        slo_per_prompt_token: per_1000_us.ok_or_else(|| wrong("specifics.aimUsPer1000PromptTokens", lane))?
            as Nanos,
        token_pace: pace.as_u64().ok_or_else(|| wrong("specifics.tokenAim", pace))?,
        effect,
    })
}

/// The settings of an instance: what the decisions read, and the names the wire uses.
pub fn settings(text: &str) -> Result<(Deployment, Names), Malformed> {
    let json: Value = serde_json::from_str(text).map_err(|e| format!("CONFIGURE: field options: {e}"))?;
    let s = &json;
    let names = Names {
        types: named(s, "lanes")?,
        tenants: named(s, "orgs")?,
        zones: words(s, "dcs")?,
        kinds: words(s, "kinds")?,
        report: words(s, "report.fields")?,
    };
    let zone = word(s, "zone")?;
    let zone = names.zones.iter().position(|z| z == zone).ok_or_else(|| wrong("zone", &s["zone"]))?;

    let per_type = |path: &str| -> Result<&[Value], Malformed> {
        let values = list(s, path)?;
        if values.len() == names.types.len() { Ok(values) } else { Err(wrong(path, at(s, path)?)) }
    };
    let aims = per_type("specifics.aimUsPer1000PromptTokens")?.iter();
    let paces = per_type("specifics.tokenAim")?.iter();
    let lanes = list(s, "lanes")?.iter();
    let types = lanes.zip(aims.zip(paces)).map(|(lane, (aim, pace))| traffic_type(lane, aim, pace));

    let (roles, memories) = (words(s, "specifics.kindRole")?, list(s, "specifics.memoryTokens")?);
    if roles.len() != names.kinds.len() || memories.len() != names.kinds.len() {
        return Err(wrong("specifics.kindRole", at(s, "specifics.kindRole")?));
    }
    let kinds = roles.iter().zip(memories).map(|(role, memory)| {
        let role = match role.as_str() {
            "read" => Role::Reader,
            "write" => Role::Writer,
            "both" => Role::Mixed,
            _ => return Err(wrong("specifics.kindRole", &s["specifics"]["kindRole"])),
        };
        let memory_tokens =
            memory.as_f64().filter(|m| *m >= 1.0).ok_or_else(|| wrong("specifics.memoryTokens", memory))?;
        Ok(Kind { role, memory_tokens })
    });
    let tenants = list(s, "orgs")?.iter().map(|org| Ok(Tenant { per_second: number(org, "quotaRps")? }));

    let deployment = Deployment {
        gateways: nanos(s, "balancers")?.max(1) as usize,
        zone: ZoneId(zone),
        types: types.collect::<Result<_, _>>()?,
        kinds: kinds.collect::<Result<_, Malformed>>()?,
        tenants: tenants.collect::<Result<_, Malformed>>()?,
        over_share_utility: number(s, "overShareWorth")?,
        weights: match word(s, "weights")? {
            "nominal" | "rough" => Weights::Size,
            _ => Weights::Unused,
        },
        discovery: match word(s, "membershipMode")? {
            "pushed" => Discovery::Pushed,
            "on_request" => Discovery::Asked,
            _ => return Err(wrong("membershipMode", &s["membershipMode"])),
        },
        ask_within: nanos(s, "rules.askEvery")?,
        max_attempts: nanos(s, "allowed.maxAttempts")? as usize,
        longest_retry_after: match flag(s, "allowed.retryAfter")? {
            true => Some(nanos(s, "allowed.maxRetryAfter")?),
            false => None,
        },
        writers_read: flag(s, "specifics.readInPlace")?,
        release_within: nanos(s, "specifics.releaseWithin")?,
        cold_for: nanos(s, "rules.cold")?,
        cold_from: number(s, "rules.coldFrom")?,
        cold_multiple: number(s, "rules.overloadFactor")?,
        cold_window: nanos(s, "rules.overloadFor")?.max(1),
    };
    Ok((deployment, names))
}
